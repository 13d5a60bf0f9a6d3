"""The leader's control loop: which machines are provisioned, assigned and released.

`cluster_manager` runs it for one term; `planner` makes a plan four times per heartbeat interval:
`demand` is measured, the fleet allocated (`allocation_plan`), capacity requests are served
(`placement_plan`), warm capacity is kept (`warm_capacity`), and the machines of the
`scale_out_plan` are requested (`instance_requests`). `machine_tracking` and `cloud_listing` follow
what becomes of machines. The rest are the rules that these use.
"""
