"""The exceptions of this project; all derive from `CopperpassError`."""

from __future__ import annotations


class CopperpassError(Exception):
    """The base class of all exceptions that this project raises."""


class SettingsError(CopperpassError):
    """A settings file is invalid or can't be read; the message names the field or the file."""


class FrameError(CopperpassError):
    """Received bytes are malformed: no controller of this or a later version would send them."""


class NewerFrameError(CopperpassError):
    """A complete frame is of a kind, or has fields, that this version does not know."""


class RejectedJobError(CopperpassError):
    """A submission is rejected; holds the HTTP status and the reason for the response.

    503 means that no decision is possible now; the other statuses are final.
    """

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.status, self.reason = status, reason
