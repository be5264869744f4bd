"""Signed receipts: which history a caller has seen."""

from __future__ import annotations

import dataclasses

import itsdangerous

from endivepier import errors
from endivepier.internal import codec

SALT = "endivepier.receipt"


@dataclasses.dataclass(frozen=True, slots=True)
class Receipt:
    """What a receipt says.

    Attributes:
        program_id: the program.
        turn: number of the last turn that the caller has seen.
        digest: digest of the history up to it.
    """

    program_id: str
    turn: int
    digest: str


class Receipts:
    """Signs and checks receipts with the fleet's secret."""

    def __init__(self, secret: str) -> None:
        self._signer = itsdangerous.Signer(secret, salt=SALT)

    def sign(self, receipt: Receipt) -> str:
        """Returns the receipt in the form that callers keep."""
        data = itsdangerous.encoding.base64_encode(codec.encode(receipt))
        return self._signer.sign(data).decode()

    def check(self, text: str) -> Receipt:
        """Returns the receipt that a caller presents.

        Raises:
            errors.Refused: `BAD_REQUEST`, if we never signed it.
        """
        try:
            data = self._signer.unsign(text)
        except itsdangerous.BadData:
            raise errors.Refused(
                errors.Code.BAD_REQUEST,
                400,
                "the receipt is not one of ours; send it as it was given",
            ) from None
        plain = itsdangerous.encoding.base64_decode(data)
        receipt: Receipt = codec.decode(Receipt, plain)
        return receipt
