"""Every key and prefix of the key-value store: who writes it, and which guards protect it.

A guard names a key and the version that it must have (0: it must not exist) for a transaction to
be applied. The texts are stored data, which earlier versions read and write too: they never change.
"""

from __future__ import annotations

# All that every member lists and watches. Keys outside it are read singly.
WATCHED_PREFIX = "c/"

# The leader's name, token and lease (`LeaderRecord`). Written by a candidate, in one transaction
# with the token; guarded by its own absence. It expires with the candidate's lease.
LEADER_KEY = "c/lead"

# The counter of leaders (`FencingTokenRecord`). Written by a candidate, guarded by its own version.
# Its version guards in turn the inventory, the machine types and the completions: a new leader
# makes late writes of these fail.
FENCING_TOKEN_KEY = "c/token"

# A job that is not completed yet (`JobRecord`), by job id. Created by the member that takes the
# submission, guarded by the absence of the live and of the completed record; removed by the shard's
# owner or by a cancellation, guarded by its own version.
LIVE_JOBS_PREFIX = "c/live/"

# The final state of a job (`JobRecord`), by job id. Written once, in the transaction that removes
# the live record; not watched.
COMPLETED_JOBS_PREFIX = "d/job/"

# Completed tasks of live jobs, `{shard}.{page}`: many jobs to a page. Written by the shard's owner,
# guarded by the token and by the page's own version.
COMPLETIONS_PREFIX = "c/ends/"

# The machine inventory as one record (`InventoryRecord`), up to version 0.2.0. Written by the
# leader, guarded by the token and by its own version.
INVENTORY_KEY = "c/fleet"

# The machine inventory in pages (`InventoryRecord` each), by number. Written by the leader, guarded
# by the token, by the page's own version and, once they count, by the absence of `INVENTORY_KEY`.
INVENTORY_PAGES_PREFIX = "c/fleet/"

# The machine types that the cloud offers (`MachineTypes`). Written once, by the leader, guarded by
# the token and by its own absence.
MACHINE_TYPES_KEY = "c/types"

# The version that a member runs (`VersionRecord`), by member. Written by the member itself, guarded
# by its own version; not watched, and unknown to versions up to 0.2.0.
MEMBER_VERSIONS_PREFIX = "v/"
