"""All keys and prefixes in the key-value store, with the writer and the guards of each.

A guard names a key and the version that the key must have (0: it must not exist) for a transaction
to be applied. Earlier versions read and write the same keys, so their texts never change.
"""

from __future__ import annotations

# The prefix that every member lists and watches. Keys outside it are read one by one.
WATCHED_PREFIX = "c/"

# The leader's name, token and lease (`LeaderRecord`). Written by a candidate, in one transaction
# with the token; guarded by its own absence. It is deleted when the candidate's lease expires.
LEADER_KEY = "c/lead"

# The counter of fencing tokens (`FencingTokenRecord`). Written by a candidate, guarded by its own
# version. Its version also guards the inventory, the machine types and the completions: late writes
# of these that were sent before an election fail after it.
FENCING_TOKEN_KEY = "c/token"

# A job that is not completed yet (`JobRecord`), by job id. The member that accepts the submission
# creates it, guarded by the absence of both the live and the completed record. The shard's owner or
# a cancellation deletes it, guarded by its own version.
LIVE_JOBS_PREFIX = "c/live/"

# The final state of a job (`JobRecord`), by job id. Written once, in the transaction that deletes
# the live record; not watched.
COMPLETED_JOBS_PREFIX = "d/job/"

# The absence of a job, by job id, on a lease of less than a second. Written by a member that is
# about to tell a user that the job is unknown, guarded by the absence of both of the job's records
# and by its own; it guards submissions. Not watched, and unknown to versions up to 0.5.0.
ABSENT_JOBS_PREFIX = "a/job/"

# Completed tasks of live jobs, by `{shard}.{page}`; a page has many jobs. Written by the shard's
# owner, guarded by the token and by the page's own version.
COMPLETIONS_PREFIX = "c/ends/"

# The machine inventory as one record (`InventoryRecord`), used up to version 0.2.0. Written by the
# leader, guarded by the token and by its own version.
INVENTORY_KEY = "c/fleet"

# The machine inventory in pages (an `InventoryRecord` each), by page number. Written by the leader,
# guarded by the token, by the page's own version and, once the pages are authoritative, by the
# absence of `INVENTORY_KEY`.
INVENTORY_PAGES_PREFIX = "c/fleet/"

# The machine types that the cloud offers (`MachineTypes`). Written once, by the leader, guarded by
# the token and by its own absence.
MACHINE_TYPES_KEY = "c/types"

# The software version of a member (`VersionRecord`), by member name. Written by the member itself,
# guarded by the key's own version; not watched, and unknown to software versions up to 0.2.0.
MEMBER_VERSIONS_PREFIX = "v/"
