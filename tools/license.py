#!/usr/bin/env python3
"""Puts the licence note at the top of each source file that lacks it."""
import subprocess

NOTE = """// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

"""
names = subprocess.run(
    ["git", "ls-files", "-co", "--exclude-standard", "src", "tests"],
    capture_output=True, text=True, check=True).stdout.split()
for name in names:
    if name.endswith((".h", ".cpp")) and "_generated" not in name:
        with open(name, encoding="utf-8") as file:
            text = file.read()
        if "Licensed under the Apache License" not in text:
            with open(name, "w", encoding="utf-8") as file:
                file.write(NOTE + text)
