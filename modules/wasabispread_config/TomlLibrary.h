/*
 * Includes the TOML library without its assertions. Some of them fail for
 * malformed text, which the library rejects without them.
 */
#pragma once

#define TOML_ASSERT(expression) static_cast<void>(0)
#include <toml++/toml.h>
