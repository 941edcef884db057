#include "node/EntryLogic.h"
#include "node/NodeLogic.h"
