"""A fake of the key-value store ("state" service), with its limits on size and write rate."""

from __future__ import annotations

import bisect
import itertools
import json
import operator

from tests.deployments import KVSTORE_LIMITS, TWO_TEAMS


class KeyValueStore:
    """Keys with revisions, leases, conditional transactions and watches."""

    def __init__(self, simulation, deployment=TWO_TEAMS):
        self.simulation = simulation
        # By key: (value, revision of the latest write, lease or None). The log holds each change as
        # (revision, key, value), with None as the value of a deleted key.
        self.data, self.revision, self.log = {}, 0, []
        self.leases, self.lease_ids = {}, itertools.count(1)
        self.down = False
        self.watches = []
        # The limits in the settings and those enforced now. Writes take tokens from a bucket, which
        # refills at `write_rps` and holds at most the tokens of one second.
        self.announced = {name: deployment.kvstore[name] for name in KVSTORE_LIMITS}
        self.limits, self.tokens = dict(self.announced), self.announced["write_rps"]
        self.refilled_at = 0.0
        # Writes accepted; transactions refused for their size and for the write rate; bytes of the
        # largest value in any transaction.
        self.write_count, self.too_large, self.too_fast, self.largest_value = 0, 0, 0, 0

    def set_limits(self, **limits):
        """Change the enforced limits at once, without an announcement in the settings."""
        self.limits.update(limits)

    def limit_error(self, transaction):
        """Return the HTTP status for a transaction beyond the limits, or None."""
        writes, limits = transaction["writes"], self.limits
        sizes = [len(json.dumps(write["value"])) for write in writes if "put" in write]
        self.largest_value = max([self.largest_value, *sizes])
        if (
            len(writes) > limits["txn_ops"]
            or len(transaction["guards"]) > 4 * limits["txn_ops"]
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
        for lease, (expires_at, _) in list(self.leases.items()):
            if self.simulation.now > expires_at and not self.down:
                self.end_lease(lease)

    def end_lease(self, lease):
        self.leases.pop(lease, None)
        deleted_keys = [key for key, entry in self.data.items() if entry[2] == lease]
        if deleted_keys:
            self.revision += 1
            for key in deleted_keys:
                del self.data[key]
                self.log.append((self.revision, key, None))
            self.notify_watches()

    def handle(self, method, path, body, reply, requester=""):
        """Serve a request; `requester` names the controller, which matters to watches only."""
        self.expire_leases()
        if self.down:
            if not path.startswith("/follow"):
                reply(503, b"{}")
            return
        if path.startswith("/kv/"):
            entry = self.data.get(path[4:])
            if entry is None:
                reply(404, b"{}")
            else:
                reply(
                    200,
                    json.dumps({"path": path[4:], "value": entry[0], "stamp": entry[1]}).encode(),
                )
        elif path.startswith("/kv?"):
            query = dict(part.split("=") for part in path[4:].split("&"))
            keys = sorted(
                key
                for key in self.data
                if key.startswith(query["under"]) and key > query.get("since", "")
            )
            page = keys[: int(query["most"])]
            reply(
                200,
                json.dumps(
                    {
                        "items": [
                            {"path": key, "value": self.data[key][0], "stamp": self.data[key][1]}
                            for key in page
                        ],
                        "truncated": len(keys) > len(page),
                        "issue": self.revision,
                    }
                ).encode(),
            )
        elif path.startswith("/follow"):
            query = dict(part.split("=") for part in path.split("?")[1].split("&"))
            watch = [query["under"], int(query["since"]), reply, requester]
            self.watches.append(watch)
            self.simulation.after(
                int(query["block_ms"]) / 1000, lambda: self.answer_watch(watch, True)
            )
            self.notify_watches()
        elif path == "/multi":
            self.transaction(json.loads(body), reply)
        elif path == "/leases":
            lease = next(self.lease_ids)
            ttl_s = json.loads(body)["ttl_ms"] / 1000
            self.leases[lease] = (self.simulation.now + ttl_s, ttl_s)
            reply(200, json.dumps({"permit": lease}).encode())
        elif method == "DELETE":
            self.end_lease(int(path.split("/")[2]))
            reply(200, b"{}")
        else:
            lease = int(path.split("/")[2])
            if lease not in self.leases:
                reply(404, b"{}")
                return
            ttl_s = self.leases[lease][1]
            self.leases[lease] = (self.simulation.now + ttl_s, ttl_s)
            reply(200, b"{}")

    def transaction(self, request, reply):
        writes = request["writes"]
        error_status = self.limit_error(request)
        if error_status is not None:
            assert error_status == 429 or self.limits != self.announced, (
                "transaction beyond the limits in the settings"
            )
            reply(error_status, b'{"error":"limits"}')
            return
        if any(
            write.get("permit") is not None and write["permit"] not in self.leases
            for write in writes
        ):
            reply(400, b'{"error":"no such lease"}')
            return
        failed = [
            guard["path"]
            for guard in request["guards"]
            if self.data.get(guard["path"], (None, 0, None))[1] != guard["stamp"]
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
        """Answer a watch that has new events or has timed out."""
        prefix, since, reply, requester = watch
        if watch not in self.watches or self.down or requester in self.simulation.kvstore_refuses:
            # A controller whose requests are rejected gets no answer to its open watches either, as
            # in an outage.
            return
        first_unseen = bisect.bisect_right(self.log, since, key=operator.itemgetter(0))
        changes = [change for change in self.log[first_unseen:] if change[1].startswith(prefix)]
        if changes or timed_out:
            self.watches.remove(watch)
            events = [
                {"remove": key, "stamp": revision}
                if value is None
                else {"put": key, "value": value, "stamp": revision}
                for revision, key, value in changes
            ]
            reply(200, json.dumps({"issue": self.revision, "news": events}).encode())
