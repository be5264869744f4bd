"""Signed receipts, which tell what history a caller has seen."""

from __future__ import annotations

import dataclasses

import itsdangerous

from endivepier import errors
from endivepier.internal import codec

SALT = "endivepier.receipt"


@dataclasses.dataclass(frozen=True, slots=True)
class Receipt:
    """The content of a receipt.

    Attributes:
        program_id: the program.
        turn: number of the last turn that the caller has seen.
        digest: digest of the history up to and including that turn.
    """

    program_id: str
    turn: int
    digest: str


class Receipts:
    """Signs and checks receipts with the fleet's secret."""

    def __init__(self, secret: str) -> None:
        self._signer = itsdangerous.Signer(secret, salt=SALT)

    def sign(self, receipt: Receipt) -> str:
        """Returns the signed text that the caller gets."""
        data = itsdangerous.encoding.base64_encode(codec.encode(receipt))
        return self._signer.sign(data).decode()

    def check(self, text: str) -> Receipt:
        """Verifies the text that a caller presents and returns its receipt.

        Raises:
            errors.Refused: `BAD_REQUEST`, if the signature is not valid.
        """
        try:
            data = self._signer.unsign(text)
        except itsdangerous.BadData:
            raise errors.Refused(
                errors.Code.BAD_REQUEST,
                400,
                "the receipt's signature is not valid; send the receipt "
                "unchanged",
            ) from None
        plain = itsdangerous.encoding.base64_decode(data)
        receipt: Receipt = codec.decode(Receipt, plain)
        return receipt
