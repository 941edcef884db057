#include "config/Settings.h"
