"""Guards of evacuated availability zones."""

from __future__ import annotations

from guards_types import Guard

REGISTRY = "packages/registry/tests/test_evacuations.py"
SERVING = "packages/serving/tests/test_evacuated_zones.py"
PLACEMENT = "packages/placement/tests/test_evacuation.py"

ZONE_GUARDS = [
    Guard(
        "evacuation: a late answer brings no removed row back",
        "registry/_evacuations.py",
        "        if row.version < self._versions.get(key, self._listed_at):\n",
        "        if False:\n",
        f"{REGISTRY} -k overlapping",
    ),
    Guard(
        "evacuation: a complete table replaces what was known",
        "registry/_evacuations.py",
        "            zones.clear()\n",
        "",
        f"{REGISTRY} -k snapshot_lacks",
    ),
    Guard(
        "evacuation: the rows come before the configuration",
        "registry/_store_view.py",
        "            update = evacuations.observe(update, operators.age_s())\n"
        "            configuration.observe(update.rows)\n",
        "            configuration.observe(update.rows)\n"
        "            update = evacuations.observe(update, operators.age_s())\n",
        f"{REGISTRY} -k starts",
    ),
    Guard(
        "evacuation: open heads of the zone are left out",
        "registry/_backend_directory.py",
        "self.evacuations.exclude(self.index.open_heads(service, model))",
        "self.index.open_heads(service, model)",
        f"{REGISTRY} -k never_offered",
    ),
    Guard(
        "evacuation: looked at again as the connection stands",
        "serving/_admission.py",
        "        if is_evacuated(self.state.view.directory, backend):\n",
        "        if False:\n",
        f"{SERVING} -k connection_that_opens",
    ),
    Guard(
        "evacuation: a group that forms there is not waited for",
        "serving/streams/_stream_call.py",
        "self.directory.in_use(stream.request.service)",
        "self.directory.of_service(stream.request.service)",
        f"{SERVING} -k not_waited_for",
    ),
    Guard(
        "evacuation: no group is formed there",
        "placement/_usable_backends.py",
        "        return self.view.evacuations.exclude(self.useful(service))\n",
        "        return self.useful(service)\n",
        f"{PLACEMENT} -k new_engines",
    ),
    Guard(
        "evacuation: groups there do not count",
        "placement/_planner.py",
        "            if self.evacuated.contains(group.members):\n",
        "            if False:\n",
        f"{PLACEMENT} -k kept_but_not_counted",
    ),
    Guard(
        "evacuation: a formation there ends",
        "placement/_evacuated_groups.py",
        "            if status.condition in _UNOPENED:\n",
        "            if False:\n",
        f"{PLACEMENT} -k formations_end",
    ),
    Guard(
        "operators' file: its row is found beside those of zones",
        "config/_apply.py",
        "DECLARED_TABLE, first_key=HEAD_KEY, limit=1,",
        "DECLARED_TABLE, limit=1,",
        "packages/config/tests/test_zones.py -k files_are_applied",
    ),
]
