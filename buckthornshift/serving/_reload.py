"""Reload of the settings file while the process runs."""

import attrs

# Settings that may change while a process runs. Addresses are in use, and the
# parameters of the dispatch core must satisfy inequalities that involve other
# instances, so they change with a restart only.
RELOADABLE_SETTINGS = ("seeds", "cpu_share", "cores", "link_mbps", "log_lines_per_s")


@attrs.frozen(kw_only=True)
class Reload:
    """Result of comparing a settings file with the settings in force.

    :param settings: the :class:`ServingSettings` to use from now on.
    :param changed_names: settings that have another value from now on.
    :param restart_names: settings whose new value needs a restart.
    """

    settings: object = None
    changed_names: tuple[str, ...] = ()
    restart_names: tuple[str, ...] = ()


def plan_reload(current, read):
    """Return the :class:`Reload` that settings from a file allow.

    :param current: the :class:`ServingSettings` in force.
    :param read: the valid :class:`ServingSettings` in the file.
    """
    names = [
        field.name
        for field in attrs.fields(type(current))
        if getattr(current, field.name) != getattr(read, field.name)
    ]
    changed_names = tuple(name for name in names if name in RELOADABLE_SETTINGS)
    return Reload(
        settings=attrs.evolve(
            current, **{name: getattr(read, name) for name in changed_names}
        ),
        changed_names=changed_names,
        restart_names=tuple(name for name in names if name not in changed_names),
    )
