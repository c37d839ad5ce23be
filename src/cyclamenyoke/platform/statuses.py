"""What callers of the platform conclude from the status of a response."""

from http import HTTPStatus

NOT_RUN_STATUSES = frozenset(
    {
        HTTPStatus.REQUEST_TIMEOUT,
        HTTPStatus.MISDIRECTED_REQUEST,
        HTTPStatus.TOO_MANY_REQUESTS,
        HTTPStatus.SERVICE_UNAVAILABLE,
    }
)
"""Statuses that callers take as a confirmation that the request has not run and never
will. They send it again, also one that must not run twice."""
