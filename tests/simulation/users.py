"""Users of the API: what they ask and what they were answered."""

from __future__ import annotations

import json

from copperpass.protocol.users import JobState
from tests.fakes.gang import Gang
from tests.simulation.controllers import Controllers


class UserRequest:
    """One request and its answer."""

    def __init__(self):
        self.status, self.body, self.retry_after = None, None, None
        # The final states that users knew when it was asked.
        self.final_states_before = {}
        # The job asked about, if it had been accepted by then.
        self.known_job_id = None


class Users(Controllers):
    """Submit, poll and cancel jobs at any controller."""

    def request(self, action, name=None, job_id=None):
        name = name or self.rng.choice(sorted(self.nodes))
        user = UserRequest()
        user.known_job_id = job_id if job_id in self.acknowledged else None
        user.final_states_before = {
            j: s for j, s in self.acknowledged.items() if s in (JobState.DONE, JobState.CANCELLED)
        }
        action(self.nodes[name].user_api, user)
        self.process_outbox(name)
        return user

    def submit(self, spec, name=None):
        self.specs[spec["id"]] = spec
        self.submitted.setdefault(spec["id"], self.now)
        return self.request(
            lambda user_api, user: user_api.submit(self.now, user, json.dumps(spec).encode()),
            name,
            spec["id"],
        )

    def poll(self, job_id, name=None):
        return self.request(
            lambda user_api, user: user_api.poll(self.now, user, job_id), name, job_id
        )

    def cancel(self, job_id, name=None):
        self.cancel_requested.add(job_id)
        return self.request(
            lambda user_api, user: user_api.cancel(self.now, user, job_id), name, job_id
        )

    def gang(self, job_id, attempt):
        if (job_id, attempt) not in self.gangs:
            self.gangs[job_id, attempt] = Gang(self, job_id, attempt)
        return self.gangs[job_id, attempt]
