"""Registry of the commands."""

from cleo.commands.command import Command

from persimmonwell.cli._config_check_command import ConfigCheckCommand
from persimmonwell.cli._config_commands import (
    ConfigApplyCommand,
    ConfigHistoryCommand,
    ConfigShowCommand,
    ConfigWaitCommand,
)
from persimmonwell.cli._explain_command import ExplainCommand
from persimmonwell.cli._fleet_commands import (
    DrainHostCommand,
    DrainUpstreamCommand,
    HostsCommand,
    UpstreamsCommand,
)
from persimmonwell.cli._outcomes_command import OutcomesCommand
from persimmonwell.cli._send_command import SendCommand
from persimmonwell.cli._settings_command import CheckSettingsCommand
from persimmonwell.cli._state_commands import (
    ClaimsShowCommand,
    LeasesCommand,
    LimitsCommand,
    OrdersCommand,
    QuarantineClearCommand,
    QuarantineListCommand,
)
from persimmonwell.cli._timeline_command import TimelineCommand

COMMANDS: tuple[type[Command], ...] = (
    CheckSettingsCommand,
    ClaimsShowCommand,
    ConfigApplyCommand,
    ConfigCheckCommand,
    ConfigHistoryCommand,
    ConfigShowCommand,
    ConfigWaitCommand,
    DrainHostCommand,
    DrainUpstreamCommand,
    ExplainCommand,
    HostsCommand,
    LeasesCommand,
    LimitsCommand,
    OrdersCommand,
    OutcomesCommand,
    QuarantineClearCommand,
    QuarantineListCommand,
    SendCommand,
    TimelineCommand,
    UpstreamsCommand,
)
