"""Inputs of a controller: raw settings and job submissions."""

from __future__ import annotations

from tests.deployments import TWO_TEAMS, Deployment


def raw_settings(
    index=0,
    nodes=3,
    lease_s=12.0,
    cancel_s=40.0,
    cores=1.0,
    next_limits=None,
    gang_wait_s=42.0,
    gang_peer_s=4.0,
    deployment: Deployment = TWO_TEAMS,
):
    node_names = [f"n{i}" for i in range(nodes)]
    zones = ["a", "b", "c"]
    return {
        "member": node_names[index],
        "domain": zones[index % 3],
        "serve_on": f"127.0.0.1:{9000 + index}",
        "internal_addr": f"127.0.0.1:{9100 + index}",
        "members": [
            {"member": name, "domain": zones[i % 3], "addr": f"127.0.0.1:{9100 + i}"}
            for i, name in enumerate(node_names)
            if i != index
        ],
        "external": {"cloud": "127.0.0.1:9200", "state": "127.0.0.1:9201"},
        "new_and_unknown": 1,
        "settings": {
            "zones": zones,
            "teams": list(deployment.teams),
            "objectives": list(deployment.objectives),
            "workers": {
                "report_s": deployment.heartbeat_interval_s,
                "lease_s": lease_s,
                "cancel_s": cancel_s,
                "gang_wait_s": gang_wait_s,
                "gang_peer_s": gang_peer_s,
            },
            "state": {**deployment.kvstore, **({"next": next_limits} if next_limits else {})},
            "cloud": {"rps": deployment.cloud_rps, "list_lag_s": 3.0},
            "resources": {"cores": cores, "max_connections": deployment.max_connections},
        },
    }


def job(number, team="red", tasks=2, cpus=4.0, run_s=10.0, **fields):
    body = {
        "id": f"req-{number:06d}",
        "slot": "quick",
        "desk": team,
        "form": "batch",
        "urgency": "high",
        "pages": tasks,
        "cpus": cpus,
        "cards": 0.0,
        "memory_gb": 8.0,
        "master": "img-1",
        "size_gb": 0.5,
        "racks": None,
        "hall": None,
        "same_place": False,
        "spread": False,
        "borrowed": True,
        "runtime_s": run_s,
        "proof_s": 0.0,
        "flush_s": 0.0,
        "edition_s": None,
    }
    body.update(fields)
    return body


def gang(number, tasks=4, cpus=8.0, **fields):
    """Return a gang submission; by default its tasks need two machines in one zone."""
    return job(
        number,
        tasks=tasks,
        cpus=cpus,
        **{"form": "ensemble", "same_place": True, "proof_s": 5.0, "flush_s": 1.0, **fields},
    )
