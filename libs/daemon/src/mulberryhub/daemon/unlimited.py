"""A limiter that admits everything, for routers without allowances."""


class UnlimitedGrant:
    """A grant with nothing to give back."""

    __slots__ = ()

    def settle(self, used):
        """Accept the tokens used."""


class UnlimitedLimiter:
    """Admits every request."""

    __slots__ = ()

    def admit(self, workspace, cost, deadline):
        """Return a grant for any cost."""
        return UnlimitedGrant()
