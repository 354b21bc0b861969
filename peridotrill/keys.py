"""API keys of teams, stored as digests."""

import hashlib
import hmac
import re
import secrets
from collections.abc import Iterator
from typing import Final, NamedTuple, final

KEY_PREFIX: Final = 'ptk_'
_KEY_BYTES: Final = 32
_DIGEST_PATTERN: Final = re.compile('[0-9a-f]{64}')


class KeyGrant(NamedTuple):
    """A valid key, represented by its digest."""

    name: str
    team: str
    digest: str


def create_key() -> str:
    """Return a new key of 256 random bits."""
    return KEY_PREFIX + secrets.token_urlsafe(_KEY_BYTES)


def digest_key(key: str) -> str:
    """Return the SHA-256 digest of a key in hex.

    :param key: any text that a caller sent, valid or not.
    """
    return hashlib.sha256(key.encode('utf-8', 'surrogatepass')).hexdigest()


@final
class KeyTable:
    """The currently valid keys, by name and by digest."""

    def __init__(self) -> None:
        """Create an empty table."""
        self._by_name: dict[str, KeyGrant] = {}
        self._by_digest: dict[str, KeyGrant] = {}

    def grant(self, name: str, team: str, digest: str) -> bool:
        """Add a key.

        :return: False, with the table unchanged, if the name or digest is
            in use or the digest is malformed.
        """
        taken = name in self._by_name or digest in self._by_digest
        if taken or not _DIGEST_PATTERN.fullmatch(digest):
            return False
        added = KeyGrant(name, team, digest)
        self._by_name[name] = added
        self._by_digest[digest] = added
        return True

    def withdraw(self, name: str) -> bool:
        """Remove a key; its name can then be reused.

        :return: False if there is no key with this name.
        """
        removed = self._by_name.pop(name, None)
        if removed is None:
            return False
        self._by_digest.pop(removed.digest)
        return True

    def find(self, key: str) -> KeyGrant | None:
        """Find the grant of a key that a caller sent.

        Safe against timing attacks: the table is indexed by digest, whose
        bits a caller cannot choose, and digests are compared in constant
        time.
        """
        digest = digest_key(key)
        found = self._by_digest.get(digest)
        if found is None or not hmac.compare_digest(found.digest, digest):
            return None
        return found

    def get(self, name: str) -> KeyGrant | None:
        """Return the key with this name, or None."""
        return self._by_name.get(name)

    def __iter__(self) -> Iterator[KeyGrant]:
        """Iterate over the valid keys, sorted by name."""
        return iter(sorted(self._by_name.values()))

    def __len__(self) -> int:
        """Return the number of valid keys."""
        return len(self._by_name)
