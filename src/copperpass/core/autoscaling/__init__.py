"""The leader's control loop: provisions machines, assigns them to shards and releases them.

`cluster_manager` runs the loop for one term. Up to four times per heartbeat interval, `planner`
makes a plan: it measures the demand (`demand`), allocates the fleet among teams
(`allocation_plan`), serves the shards' capacity requests (`placement_plan`), maintains warm
capacity (`warm_capacity`), and requests the machines of the `scale_out_plan` from the cloud
(`instance_requests`). `machine_tracking` and `cloud_listing` follow the lifecycle of each machine.
The other modules hold the data types and rules that these use.
"""
