"""A manifest version compiled for the lookups of each request."""

from __future__ import annotations

from hashlib import sha256
from hmac import compare_digest
from typing import TYPE_CHECKING

from kingcupwheel.manifest.routing import RouteTable


if TYPE_CHECKING:
    from collections.abc import Mapping

    from kingcupwheel.manifest.assembly import AssembledManifest
    from kingcupwheel.manifest.routing import RouteMatch
    from kingcupwheel.manifest.schema import Goals
    from kingcupwheel.manifest.schema import Organisation
    from kingcupwheel.manifest.schema import Retention
    from kingcupwheel.manifest.schema import ServerGroup

# Hexadecimal digits of the index's digest in heartbeats: enough to distinguish two
# indexes, and a quarter of the bytes on every link every second.
_HEARTBEAT_DIGEST_DIGITS = 16
# Hexadecimal digits of a key's digest that index the candidates, whose full digests
# are then compared.
_KEY_PREFIX_DIGITS = 16


class CompiledManifest:
    """One version of the manifest; immutable and therefore thread-safe.

    ``digest`` is a prefix of the SHA-256 digest of the index object: equal versions
    with different digests would mean that the platform lost and reused a version.
    """

    def __init__(self, version: int, assembly: AssembledManifest) -> None:
        self._version = version
        digest = sha256(assembly.index_value).hexdigest()
        self._digest = digest[:_HEARTBEAT_DIGEST_DIGITS]
        self._assembly = assembly
        self._groups_by_name = {group.name: group for group in assembly.core.groups}
        self._routes = RouteTable(assembly.core.routes, self._groups_by_name)
        self._organisations_by_name: dict[str, Organisation] = {}
        # Almost every prefix has one candidate. A tuple for each of 43,000 prefixes
        # would double the objects that the garbage collector traverses.
        self._organisation_by_prefix: dict[str, Organisation] = {}
        self._collisions_by_prefix: dict[str, list[Organisation]] = {}
        for bucket in assembly.buckets_by_digest.values():
            for organisation in bucket.organisations:
                self._add_organisation(organisation)

    @property
    def version(self) -> int:
        """The version of the index object on the platform."""
        return self._version

    @property
    def digest(self) -> str:
        """The prefix of the index object's digest."""
        return self._digest

    @property
    def assembly(self) -> AssembledManifest:
        """The manifest and the objects that it was compiled from."""
        return self._assembly

    @property
    def groups_by_name(self) -> Mapping[str, ServerGroup]:
        """All server groups."""
        return self._groups_by_name

    @property
    def organisations_by_name(self) -> Mapping[str, Organisation]:
        """All organisations; empty if assembled without them."""
        return self._organisations_by_name

    @property
    def goals(self) -> Goals:
        """The service-level goals of routes and organisations without their own."""
        return self._assembly.core.goals

    @property
    def retention(self) -> Retention:
        """How long the platform keeps claims and traces."""
        return self._assembly.core.retention

    def find_organisation_by_key(self, key: str) -> Organisation | None:
        """Return the organisation that the bearer key belongs to, None if unknown.

        Digests are compared in constant time, so that timing does not reveal them.
        """
        digest = sha256(key.encode(errors="surrogatepass")).hexdigest()
        prefix = digest[:_KEY_PREFIX_DIGITS]
        candidate = self._organisation_by_prefix.get(prefix)
        if candidate is None:
            return None
        owner = None
        for organisation in (candidate, *self._collisions_by_prefix.get(prefix, ())):
            for key_digest in organisation.key_digests:
                if compare_digest(key_digest, digest):
                    owner = organisation
        return owner

    def find_route(self, host: str, path: str, method: str) -> RouteMatch:
        """Return the route of a request, or the reason why there is none."""
        return self._routes.find(host, path, method)

    def _add_organisation(self, organisation: Organisation) -> None:
        self._organisations_by_name[organisation.name] = organisation
        for digest in organisation.key_digests:
            prefix = digest[:_KEY_PREFIX_DIGITS]
            candidate = self._organisation_by_prefix.setdefault(prefix, organisation)
            if candidate is not organisation:
                self._collisions_by_prefix.setdefault(prefix, []).append(organisation)
