"""Checks an inventory and reports all findings at once, each with its JSON path."""

import msgspec

from mulberryhub.base.findings import Findings
from mulberryhub.config.consistency import check_consistency
from mulberryhub.config.inventory import Inventory

MAX_SIZE = 8 * 1024 * 1024  # bytes
MAX_SCHEMA_SIZE = 512 * 1024  # bytes
MAX_SCHEMA_FINDINGS = 200
MAX_MESSAGE = 300  # characters


def validate_inventory(data):
    """Return the inventory in the JSON `data`, or None, and the Findings."""
    findings = Findings()
    if len(data) > MAX_SIZE:
        findings.error("$", f"the document has more than {MAX_SIZE} bytes")
        return None, findings
    try:
        inventory = _decode(data, findings)
    except RecursionError:
        findings.error("$", "the document is nested too deeply")
        return None, findings
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        findings.error("$", f"malformed JSON: {error}")
        return None, findings
    if inventory is not None:
        check_consistency(inventory, findings)
    return (None if findings.errors else inventory), findings


def _decode(data, findings):
    try:
        return msgspec.json.decode(data, type=Inventory)
    except msgspec.ValidationError as error:
        # Decoding stops at the first wrong type; what follows may be malformed.
        _report_types(data, error, findings)
    return None


def _report_types(data, error, findings):
    """Report each value of a wrong type; a big document only gets the first."""
    if len(data) <= MAX_SCHEMA_SIZE:
        _check_schema(msgspec.json.decode(data), findings)
    if not findings.errors:
        findings.error("$", str(error))


def _check_schema(document, findings):
    # Imported here since it takes memory that a router seldom needs.
    from jsonschema import Draft202012Validator

    validator = Draft202012Validator(msgspec.json.schema(Inventory))
    for count, error in enumerate(validator.iter_errors(document)):
        if count == MAX_SCHEMA_FINDINGS:
            findings.error("$", "there are more findings than can be listed")
            return
        findings.error(error.json_path, error.message[:MAX_MESSAGE])
