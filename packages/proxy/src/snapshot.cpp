#include "proxy/snapshot.h"
