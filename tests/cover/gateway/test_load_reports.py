import pytest

from endivepier import timers as timers_lib
from endivepier.gateway.choice import load_reports


# A count that is null raised a TypeError, which no caller expects.
@pytest.mark.parametrize("report", [b"[]", b"{", b'{"t@1": null}', b'"x"'])
def test_an_invalid_load_report_is_a_value_error(report):
    reports = load_reports.LoadReports(timers_lib.SystemTimers())
    with pytest.raises(ValueError, match=r"."):
        reports.receive("h1", report)
