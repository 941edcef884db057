#pragma once

// Makes toml++ return syntax errors as values instead of throwing, in all files
// of this module.
#define TOML_EXCEPTIONS 0
#include <toml++/toml.h>
