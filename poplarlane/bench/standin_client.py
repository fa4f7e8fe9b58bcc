"""Blocking HTTP calls to the stand-ins, for set-up, control and tests."""

import http.client
import json
from typing import Any

CALL_TIMEOUT_S = 10.0


class Answer:
    """Hold one answer."""

    __slots__ = ("status", "headers", "body")

    def __init__(self, status: int, headers: dict[str, str], body: bytes) -> None:
        self.status = status
        self.headers = headers
        self.body = body

    def json(self) -> Any:
        """Decode the body."""
        return json.loads(self.body)


def call(
    address: str,
    port: int,
    method: str,
    path: str,
    document: Any = None,
    headers: dict[str, str] | None = None,
    timeout_s: float = CALL_TIMEOUT_S,
) -> Answer:
    """Make one call on a connection of its own; raises OSError or HTTPException without an answer.

    `document` is sent as JSON, or as it is when it is bytes.
    """
    body = document
    if document is not None and not isinstance(document, bytes):
        body = json.dumps(document).encode()
    connection = http.client.HTTPConnection(address, port, timeout=timeout_s)
    try:
        connection.request(method, path, body, headers or {})
        answer = connection.getresponse()
        shown = {name.lower(): value for name, value in answer.getheaders()}
        return Answer(answer.status, shown, answer.read())
    finally:
        connection.close()
