"""Messages between routers about allowances; amounts are in tokens."""

import msgspec

BORROW_METHOD = "limits.borrow"


class Ask(msgspec.Struct, array_like=True):
    """A wish to borrow; `is_urgent` when callers are waiting for it."""

    workspace: str
    loan_number: int
    wanted: int
    is_urgent: bool


class Report(msgspec.Struct, array_like=True):
    """A loan that is not used any more, and all that was returned of it."""

    workspace: str
    loan_number: int
    returned: float


class BorrowRequest(msgspec.Struct, array_like=True):
    """Asks and reports of one run of a router to one holder."""

    borrower: str
    incarnation: str
    holder: str
    loan_requests: list[Ask]
    reports: list[Report]


class Lent(msgspec.Struct, array_like=True):
    """The answer to an ask: the amount lent, and the level left with the holder."""

    workspace: str
    loan_number: int
    amount: float
    level: float


class BorrowResponse(msgspec.Struct, array_like=True):
    """The answer to a Borrow."""

    loans: list[Lent]
