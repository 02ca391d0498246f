"""Validation errors and warnings, collected so that all are reported at once."""

import msgspec


class Finding(msgspec.Struct, frozen=True):
    """One error or warning at a JSON path such as `$.workspaces[2].rate`."""

    path: str
    message: str
    level: str = "error"

    def __str__(self):
        return f"{self.level}: {self.path}: {self.message}"


class Findings:
    """Collects findings in the order in which they were added."""

    __slots__ = ("items",)

    def __init__(self):
        self.items = []

    def error(self, path, message):
        """Add an error at `path`."""
        self.items.append(Finding(path, message))

    def warning(self, path, message):
        """Add a warning at `path`."""
        self.items.append(Finding(path, message, "warning"))

    @property
    def errors(self):
        """Return the findings that make the document invalid."""
        return [finding for finding in self.items if finding.level == "error"]
