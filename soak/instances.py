"""The daemons under test, as processes: one entry on each instance, and a
controller on those with a data folder."""

import asyncio
import os
import shutil
import signal
import subprocess

import wire

PORTS = {"callers": 7100, "ready": 7101, "control": 7102, "peers": 7110}


class Process:
    """One daemon process. Signals go to its process id only."""

    def __init__(self, role, instance):
        self.role = role
        self.instance = instance
        self.child = None
        self.should_run = False

    def start(self):
        self.should_run = True
        if self.child and self.child.poll() is None:
            return
        environment = {"PATH": os.environ["PATH"],
                       wire.BOOT_SETTINGS_VARIABLE: self.instance.settings_path}
        log = open(f"{self.instance.folder}/{self.role}.log", "ab")
        self.child = subprocess.Popen(
            [self.instance.daemon, self.role], env=environment, stdout=log,
            stderr=log, stdin=subprocess.DEVNULL, start_new_session=True)
        log.close()

    def is_running(self):
        return self.child is not None and self.child.poll() is None

    def send_signal(self, signal_number):
        if self.is_running():
            os.kill(self.child.pid, signal_number)

    async def stop(self, signal_number=signal.SIGKILL, timeout_seconds=10):
        """Signals the process and waits for its end; kills it at the timeout.

        Returns whether it ended before the timeout.
        """
        self.should_run = False
        self.send_signal(signal_number)
        for _ in range(int(timeout_seconds * 50)):
            if not self.is_running():
                return True
            await asyncio.sleep(0.02)
        self.send_signal(signal.SIGKILL)
        self.child.wait()
        return False


class Instance:
    """One instance: its addresses, its folder and its daemons."""

    def __init__(self, number, daemon, folder, host, seed_nodes,
                 platform_address, has_controller):
        self.name = f"i{number}"
        self.daemon = daemon
        self.folder = f"{folder}/{self.name}"
        self.host = host
        self.zone = "zone-" + "abc"[number % 3]
        self.platform_address = platform_address
        self.data_folder = f"{self.folder}/data" if has_controller else None
        self.settings_path = f"{self.folder}/settings.json"
        self.proxy = None  # (host, port) at which callers reach it
        self.entry = Process("entry", self)
        self.controller = (Process("controller", self) if has_controller
                           else None)
        os.makedirs(self.data_folder or self.folder)
        self.write_settings(seed_nodes, bootstrap=True)

    def write_settings(self, seed_nodes, bootstrap=False):
        text = wire.boot_settings(self.name, self.host, self.zone, PORTS,
                                  seed_nodes, bootstrap, self.data_folder,
                                  self.platform_address)
        with open(self.settings_path + ".new", "w") as file:
            file.write(text)
        os.replace(self.settings_path + ".new", self.settings_path)

    def processes(self):
        return [process for process in (self.entry, self.controller) if process]

    def clear_data_folder(self):
        shutil.rmtree(self.data_folder)
        os.makedirs(self.data_folder)
