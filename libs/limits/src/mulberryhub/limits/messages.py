"""Messages that routers exchange to borrow tokens; amounts are in tokens."""

import msgspec

BORROW_METHOD = "limits.borrow"


class LoanRequest(msgspec.Struct, array_like=True):
    """A loan request for `wanted` tokens.

    `is_urgent` is true when requests of clients are waiting for the tokens.
    """

    workspace: str
    loan_number: int
    wanted: int
    is_urgent: bool


class LoanReport(msgspec.Struct, array_like=True):
    """A report to a holder that a loan is no longer used.

    `returned` is the total of unused tokens over all reports on the loan.
    """

    workspace: str
    loan_number: int
    returned: float


class BorrowRequest(msgspec.Struct, array_like=True):
    """Loan requests and reports from one incarnation of a router to one holder."""

    borrower: str
    incarnation: str
    holder: str
    loan_requests: list[LoanRequest]
    reports: list[LoanReport]


class LoanResponse(msgspec.Struct, array_like=True):
    """The response to a loan request: the amount lent and the holder's new level."""

    workspace: str
    loan_number: int
    amount: float
    level: float


class BorrowResponse(msgspec.Struct, array_like=True):
    """The response to a BorrowRequest."""

    loans: list[LoanResponse]
