"""Fences of the contacts of one ownership.

An executor does nothing for a request with a lower fence than it has seen.  Each contact with an
executor has a fence above those of all earlier contacts and owners, so that a request of an earlier
contact does nothing once the executor has carried out one of the current contact.
"""

from __future__ import annotations

from typing import Final

CONTACT_BITS: Final = 31
MAX_CONTACTS: Final = 2**CONTACT_BITS - 1


class ContactFences:
    """Hands out the fences of one ownership, for direct links and relays."""

    def __init__(self, epoch: int) -> None:
        self._first = epoch << CONTACT_BITS
        self._contacts = 0

    def next(self) -> int:
        """Returns the fence of a new contact.

        Raises OverflowError if the ownership has used up its fences: a higher one would be that of
        the next owner.
        """
        if self._contacts >= MAX_CONTACTS:
            raise OverflowError("the ownership has used up the fences of its contacts")
        self._contacts += 1
        return self._first + self._contacts
