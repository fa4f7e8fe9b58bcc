"""A node's directory and entries of its store, for steps without network and processes."""

from types import SimpleNamespace

from poplarlane.decisions.configuration.directory import Directory
from poplarlane.platform import store, translation
from poplarlane.plumbing.directory_sync import DirectorySync, Translation
from poplarlane.store_objects import StoredObject


def target_entry(name, port):
    """Write the record of a target."""
    info = {"service": "reads", "zone": "a", "slots": 6}
    return StoredObject(name, 3, {"address": f"127.0.0.1:{port}", "info": info}, {"state": "ready"})


def make_sync():
    """Create the directory of a node that has listed nothing yet, without a relay."""
    shell = SimpleNamespace(state=SimpleNamespace(ready=False, fleet_entries=1), now=lambda: 100.0)
    functions = Translation(
        store.CONFIGURATION_KIND,
        translation.CONFIGURATION_NAME,
        translation.configuration_of,
        translation.instance_of,
        translation.version_of,
    )
    return DirectorySync(shell, Directory(0.2, "measured"), functions, 1)
