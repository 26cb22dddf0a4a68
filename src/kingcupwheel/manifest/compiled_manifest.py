"""A manifest in force, compiled for lookups on the path of each request."""

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

# Hexadecimal digits of the index's digest that heartbeats name: enough to tell two
# indexes apart, and a quarter of the bytes on every link every second.
_HEARTBEAT_DIGEST_DIGITS = 16
# Hexadecimal digits of a key's digest that find the candidates; the rest is compared.
_KEY_PREFIX_DIGITS = 16


class CompiledManifest:
    """One version of the manifest; immutable, so that any thread may read it.

    ``digest`` begins the SHA-256 digest of the index object: equal versions with
    different digests would mean that the platform has lost and reused a version.
    """

    def __init__(self, version: int, assembly: AssembledManifest) -> None:
        self._version = version
        digest = sha256(assembly.index_value).hexdigest()
        self._digest = digest[:_HEARTBEAT_DIGEST_DIGITS]
        self._assembly = assembly
        self._groups_by_name = {group.name: group for group in assembly.core.groups}
        self._routes = RouteTable(assembly.core.routes, self._groups_by_name)
        self._organisations_by_name: dict[str, Organisation] = {}
        # One candidate for each prefix but for rare collisions: 43,000 tuples of one
        # would double what the garbage collector walks through.
        self._organisation_by_prefix: dict[str, Organisation] = {}
        self._collisions_by_prefix: dict[str, list[Organisation]] = {}
        for bucket in assembly.buckets_by_digest.values():
            for organisation in bucket.organisations:
                self._add_organisation(organisation)

    @property
    def version(self) -> int:
        """The version of the index object in the platform's service."""
        return self._version

    @property
    def digest(self) -> str:
        """The beginning of the index object's digest."""
        return self._digest

    @property
    def assembly(self) -> AssembledManifest:
        """The objects it was made of."""
        return self._assembly

    @property
    def groups_by_name(self) -> Mapping[str, ServerGroup]:
        """Every server group."""
        return self._groups_by_name

    @property
    def organisations_by_name(self) -> Mapping[str, Organisation]:
        """Every organisation; empty where a process doesn't need them."""
        return self._organisations_by_name

    @property
    def goals(self) -> Goals:
        """The service-level goals where neither route nor organisation has its own."""
        return self._assembly.core.goals

    @property
    def retention(self) -> Retention:
        """How long the platform keeps claims and traces."""
        return self._assembly.core.retention

    def find_organisation_by_key(self, key: str) -> Organisation | None:
        """Return the organisation that the bearer key belongs to.

        The comparison takes the same time whatever digits are right, so that timing
        tells nothing of the digests held here.
        """
        digest = sha256(key.encode(errors="surrogatepass")).hexdigest()
        prefix = digest[:_KEY_PREFIX_DIGITS]
        first = self._organisation_by_prefix.get(prefix)
        if first is None:
            return None
        found = None
        for organisation in (first, *self._collisions_by_prefix.get(prefix, ())):
            for held in organisation.key_digests:
                if compare_digest(held, digest):
                    found = organisation
        return found

    def find_route(self, host: str, path: str, method: str) -> RouteMatch:
        """Return the route of a request, or why there is none."""
        return self._routes.find(host, path, method)

    def _add_organisation(self, organisation: Organisation) -> None:
        self._organisations_by_name[organisation.name] = organisation
        for digest in organisation.key_digests:
            prefix = digest[:_KEY_PREFIX_DIGITS]
            first = self._organisation_by_prefix.setdefault(prefix, organisation)
            if first is not organisation:
                self._collisions_by_prefix.setdefault(prefix, []).append(organisation)
