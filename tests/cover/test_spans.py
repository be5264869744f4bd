import gevent
from opentelemetry.sdk.trace import export

from endivepier.telemetry import spans


class FailingOnce(export.SpanExporter):
    """Fails on its first batch."""

    def __init__(self):
        self.batches = []

    def export(self, batch):
        self.batches.append(batch)
        if len(self.batches) == 1:
            raise OSError("no space left on device")


# The task that exports spans ended with the first exception.
def test_an_export_that_fails_is_not_the_last_one(monkeypatch):
    monkeypatch.setattr(spans, "EXPORT_INTERVAL_SECONDS", 0.01)
    exporter = FailingOnce()
    processor = spans._QueueProcessor(exporter)
    for _ in range(2):
        processor._queue.put("span")
        gevent.sleep(0.05)
    assert len(exporter.batches) == 2
