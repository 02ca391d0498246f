"""Validates an inventory and reports all findings at once, each with a JSON path."""

import msgspec

from mulberryhub.base.findings import Findings
from mulberryhub.config.consistency import check_consistency
from mulberryhub.config.inventory import Inventory

MAX_DOCUMENT_BYTES = 8 * 1024 * 1024
MAX_SCHEMA_CHECK_BYTES = 512 * 1024
MAX_SCHEMA_FINDING_COUNT = 200
MAX_MESSAGE_CHARS = 300


def validate_inventory(data):
    """Return the inventory in the JSON `data` and its Findings.

    The inventory is None if there are errors.
    """
    findings = Findings()
    if len(data) > MAX_DOCUMENT_BYTES:
        findings.error("$", f"the document has more than {MAX_DOCUMENT_BYTES} bytes")
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
        # msgspec stops at the first wrong type; the rest may still be malformed JSON.
        _report_type_errors(data, error, findings)
    return None


def _report_type_errors(data, error, findings):
    """Add a finding for each value of a wrong type.

    Documents above MAX_SCHEMA_CHECK_BYTES only get the first one.
    """
    if len(data) <= MAX_SCHEMA_CHECK_BYTES:
        _check_schema(msgspec.json.decode(data), findings)
    if not findings.errors:
        findings.error("$", str(error))


def _check_schema(document, findings):
    # Imported on demand: it uses much memory, and routers rarely need it.
    from jsonschema import Draft202012Validator

    validator = Draft202012Validator(msgspec.json.schema(Inventory))
    for count, error in enumerate(validator.iter_errors(document)):
        if count == MAX_SCHEMA_FINDING_COUNT:
            findings.error("$", "there are more findings than can be listed")
            return
        findings.error(error.json_path, error.message[:MAX_MESSAGE_CHARS])
