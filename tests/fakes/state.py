"""The state service: keys, leases, guarded transactions, watches and limits."""

from __future__ import annotations

import bisect
import itertools
import json
import operator

from tests.deployments import KVSTORE_LIMITS, TWO_TEAMS


class KeyValueStore:
    """The state service: keys, leases, guarded transactions and watches."""

    def __init__(self, simulation, deployment=TWO_TEAMS):
        self.simulation = simulation
        self.data, self.revision, self.log = {}, 0, []
        self.leases, self.lease_ids = {}, itertools.count(1)
        self.down = False
        self.watches = []
        # What the settings say, and what holds now.
        self.announced = {name: deployment.kvstore[name] for name in KVSTORE_LIMITS}
        self.limits, self.tokens = dict(self.announced), self.announced["write_rps"]
        self.refilled_at = 0.0
        self.write_count, self.too_large, self.too_fast, self.largest_value = 0, 0, 0, 0

    def set_limits(self, **limits):
        """From now on, without notice."""
        self.limits.update(limits)

    def limit_error(self, txn):
        """Why a transaction is beyond the limits: a status, or None."""
        writes, limits = txn["writes"], self.limits
        sizes = [len(json.dumps(w["value"])) for w in writes if "put" in w]
        self.largest_value = max([self.largest_value, *sizes])
        if (
            len(writes) > limits["txn_ops"]
            or len(txn["guards"]) > 4 * limits["txn_ops"]
            or (max(sizes, default=0) > 1024 * limits["value_kb"])
        ):
            self.too_large += 1
            return 400
        rate = limits["write_rps"]
        self.tokens = min(rate, self.tokens + (self.simulation.now - self.refilled_at) * rate)
        self.refilled_at = self.simulation.now
        if self.tokens < len(writes):
            self.too_fast += 1
            return 429
        self.tokens -= len(writes)
        self.write_count += len(writes)
        return None

    def expire_leases(self):
        for lease, (until, _) in list(self.leases.items()):
            if self.simulation.now > until and not self.down:
                self.end_lease(lease)

    def end_lease(self, lease):
        self.leases.pop(lease, None)
        gone = [k for k, v in self.data.items() if v[2] == lease]
        if gone:
            self.revision += 1
            for key in gone:
                del self.data[key]
                self.log.append((self.revision, key, None))
            self.notify_watches()

    def handle(self, method, path, body, reply, asker=""):
        self.expire_leases()
        if self.down:
            if not path.startswith("/follow"):
                reply(503, b"{}")
            return
        if path.startswith("/kv/"):
            found = self.data.get(path[4:])
            if found is None:
                reply(404, b"{}")
            else:
                reply(
                    200,
                    json.dumps({"path": path[4:], "value": found[0], "stamp": found[1]}).encode(),
                )
        elif path.startswith("/kv?"):
            query = dict(part.split("=") for part in path[4:].split("&"))
            keys = sorted(
                k for k in self.data if k.startswith(query["under"]) and k > query.get("since", "")
            )
            page = keys[: int(query["most"])]
            reply(
                200,
                json.dumps(
                    {
                        "items": [
                            {"path": k, "value": self.data[k][0], "stamp": self.data[k][1]}
                            for k in page
                        ],
                        "truncated": len(keys) > len(page),
                        "issue": self.revision,
                    }
                ).encode(),
            )
        elif path.startswith("/follow"):
            query = dict(part.split("=") for part in path.split("?")[1].split("&"))
            watch = [query["under"], int(query["since"]), reply, asker]
            self.watches.append(watch)
            self.simulation.after(
                int(query["block_ms"]) / 1000, lambda: self.answer_watch(watch, True)
            )
            self.notify_watches()
        elif path == "/multi":
            self.transaction(json.loads(body), reply)
        elif path == "/leases":
            lease = next(self.lease_ids)
            ttl = json.loads(body)["ttl_ms"] / 1000
            self.leases[lease] = (self.simulation.now + ttl, ttl)
            reply(200, json.dumps({"permit": lease}).encode())
        elif method == "DELETE":
            self.end_lease(int(path.split("/")[2]))
            reply(200, b"{}")
        else:
            lease = int(path.split("/")[2])
            if lease not in self.leases:
                reply(404, b"{}")
                return
            ttl = self.leases[lease][1]
            self.leases[lease] = (self.simulation.now + ttl, ttl)
            reply(200, b"{}")

    def transaction(self, txn, reply):
        writes = txn["writes"]
        refused = self.limit_error(txn)
        if refused is not None:
            assert refused == 429 or self.limits != self.announced, (
                "beyond the limits of the settings"
            )
            reply(refused, b'{"error":"limits"}')
            return
        if any(w.get("permit") is not None and w["permit"] not in self.leases for w in writes):
            reply(400, b'{"error":"no such lease"}')
            return
        failed = [
            g["path"]
            for g in txn["guards"]
            if self.data.get(g["path"], (None, 0, None))[1] != g["stamp"]
        ]
        if failed:
            reply(409, json.dumps({"failed": failed, "issue": self.revision}).encode())
            return
        self.revision += 1
        for write in writes:
            if "put" in write:
                self.data[write["put"]] = (write["value"], self.revision, write.get("permit"))
                self.log.append((self.revision, write["put"], write["value"]))
            elif self.data.pop(write["remove"], None):
                self.log.append((self.revision, write["remove"], None))
        self.simulation.on_writes(writes)
        reply(200, json.dumps({"issue": self.revision}).encode())
        self.notify_watches()

    def notify_watches(self):
        for watch in list(self.watches):
            self.answer_watch(watch, False)

    def answer_watch(self, watch, timed_out):
        prefix, since, reply, asker = watch
        if watch not in self.watches or self.down or asker in self.simulation.kvstore_refuses:
            # Also the open watches of a node that is refused alone wait as in an outage.
            return
        unseen = bisect.bisect_right(self.log, since, key=operator.itemgetter(0))
        news = [e for e in self.log[unseen:] if e[1].startswith(prefix)]
        if news or timed_out:
            self.watches.remove(watch)
            events = [
                {"remove": k, "stamp": r} if v is None else {"put": k, "value": v, "stamp": r}
                for r, k, v in news
            ]
            reply(200, json.dumps({"issue": self.revision, "news": events}).encode())
