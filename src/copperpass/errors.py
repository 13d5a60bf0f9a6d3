"""The exceptions of the project in one hierarchy: a caller may catch all or one kind."""

from __future__ import annotations


class CopperpassError(Exception):
    """The base of every exception that this project raises."""


class SettingsError(CopperpassError):
    """A settings file that can't be used; the message names the field."""


class FrameError(CopperpassError):
    """Bytes that no controller of this version or a later one would send."""


class NewerFrameError(CopperpassError):
    """A frame that is whole, but of a kind or with fields that this version doesn't know."""


class RejectedJobError(CopperpassError):
    """A submission that is refused: the HTTP status of the answer, and the reason that it gives.

    503 means that it can't be decided now; the other statuses are final.
    """

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.status, self.reason = status, reason
