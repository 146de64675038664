"""Base class of the processes of both roles."""

from collections.abc import Callable
import random
import time

from cassiashift_core import membership
from cassiashift_core import spread
from cassiashift_daemon import dispatch
from cassiashift_daemon import lifecycle
from cassiashift_daemon import metrics
from cassiashift_daemon import peers
from cassiashift_daemon import presence
from cassiashift_daemon import recorder
from cassiashift_daemon import settings
from cassiashift_daemon import shared_state
from cassiashift_daemon import spreading
from cassiashift_net import keys
from cassiashift_net import links


class RoleProcess(lifecycle.Process):
    """A process with links, membership and the shared state.

    Attributes:
        epoch: start time of the process, in nanoseconds since 1970.
        leaving: a planned stop has begun.
    """

    presence: presence.PresenceRunner
    spread: spreading.SpreadRunner

    def __init__(
        self,
        cfg: settings.Settings,
        role: str,
        keep: Callable[[str, bytes], bool] = shared_state.keep_all,
    ) -> None:
        """Build the parts that need no running event loop.

        Args:
            cfg: checked settings.
            role: the name of the role in metrics and in the time line.
            keep: returns whether the process needs an item of the manifest.
        """
        super().__init__()
        self.cfg = cfg
        self.epoch = time.time_ns()
        # Seeded by the operating system: hosts may start at the same time.
        self.rng = random.Random()
        self.holder = shared_state.SharedHolder(keep=keep)
        self.metrics = metrics.Metrics.from_config(cfg.statsd, role)
        self.events = recorder.Recorder.from_config(cfg, role)
        self.voters = cfg.voter_addresses()
        self.leaving = False

    @property
    def stop_timeout_s(self) -> float:
        """Return the seconds that a planned stop may take."""
        return self.cfg.stop_timeout_s

    def open_links(self) -> str:
        """Open the links and return the address that peers connect to."""
        cfg = self.cfg
        self.dispatcher = dispatch.Dispatcher()
        self.links = links.Links.from_config(
            cfg.host,
            self.dispatcher.dispatch,
            keys.KeyRing.from_files(cfg.curve_secret_file, cfg.curve_keys_dir),
        )
        self.peers = peers.Peers(self.links, self._address_of)
        return self.links.bind(cfg.link)

    def membership_config(
        self, link: str, http: str = ''
    ) -> membership.MembershipConfig:
        """Return the settings of membership.

        Args:
            link: own link address.
            http: own URL for callers; empty for an agent.
        """
        cfg = self.cfg
        return membership.MembershipConfig(
            host=cfg.host,
            address=link,
            region=cfg.region,
            data_centre=cfg.data_centre,
            incarnation=presence.incarnation_now(),
            seeds=presence.contacts(cfg.entry_addresses()),
            remote_seeds=presence.contacts(cfg.remote_entry_addresses()),
            http=http,
            epoch=self.epoch,
        )

    def open_spread(self, cfg: spread.SpreadConfig) -> None:
        """Create the spread; the role then sends it ``Restarted``."""
        self.spread = spreading.SpreadRunner.from_config(
            cfg, self.rng, self.peers, self.holder
        )

    def register_shared_handlers(self) -> None:
        """Register the message handlers that both roles need."""
        for cls in membership.MESSAGE_TYPES:
            self.dispatcher.register(cls, self.presence.received)
        for cls in spread.MESSAGE_TYPES:
            self.dispatcher.register(cls, self.spread.received)

    def _address_of(self, host: str) -> str | None:
        return self.voters.get(host) or self.presence.member.address_of(host)
