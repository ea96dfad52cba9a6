"""The daemons under test: real processes, one entry an instance and a
controller on those with a data folder."""

import asyncio
import os
import shutil
import signal
import subprocess

import wire

PORTS = {"callers": 7100, "ready": 7101, "control": 7102, "peers": 7110}


class Process:
    """One daemon. Ended by its process id only."""

    def __init__(self, role, instance):
        self.role = role
        self.instance = instance
        self.child = None
        self.wanted = False

    def start(self):
        self.wanted = True
        if self.child and self.child.poll() is None:
            return
        environment = {"PATH": os.environ["PATH"],
                       wire.BOOT_SETTINGS_VARIABLE: self.instance.settings_path}
        log = open(f"{self.instance.folder}/{self.role}.log", "ab")
        self.child = subprocess.Popen(
            [self.instance.daemon, self.role], env=environment, stdout=log,
            stderr=log, stdin=subprocess.DEVNULL, start_new_session=True)
        log.close()

    def running(self):
        return self.child is not None and self.child.poll() is None

    def send(self, number):
        if self.running():
            os.kill(self.child.pid, number)

    async def end(self, number=signal.SIGKILL, seconds=10):
        """Ends the process and waits; kills it when it takes too long."""
        self.wanted = False
        self.send(number)
        for _ in range(int(seconds * 50)):
            if not self.running():
                return True
            await asyncio.sleep(0.02)
        self.send(signal.SIGKILL)
        self.child.wait()
        return False


class Instance:
    def __init__(self, number, daemon, folder, host, seeds, api, disk):
        self.name = f"i{number}"
        self.daemon = daemon
        self.folder = f"{folder}/{self.name}"
        self.host = host
        self.zone = "zone-" + "abc"[number % 3]
        self.api = api
        self.data = f"{self.folder}/data" if disk else None
        self.settings_path = f"{self.folder}/settings.json"
        self.proxy = None  # address at which callers reach it
        self.entry = Process("entry", self)
        self.controller = Process("controller", self) if disk else None
        os.makedirs(self.data or self.folder)
        self.write_settings(seeds, first=True)

    def write_settings(self, seeds, first=False):
        text = wire.boot_settings(self.name, self.host, self.zone, PORTS,
                                  seeds, first, self.data, self.api)
        with open(self.settings_path + ".new", "w") as file:
            file.write(text)
        os.replace(self.settings_path + ".new", self.settings_path)

    def processes(self):
        return [p for p in (self.entry, self.controller) if p]

    def wipe(self):
        shutil.rmtree(self.data)
        os.makedirs(self.data)
