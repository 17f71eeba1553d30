// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#define CATCH_CONFIG_MAIN
#include <catch2/catch.hpp>
