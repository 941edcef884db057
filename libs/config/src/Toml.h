#pragma once

// toml++ reports syntax errors as values in all files of this module.
#define TOML_EXCEPTIONS 0
#include <toml++/toml.h>
