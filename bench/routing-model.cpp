#include "policies.h"

namespace eelgrassloom {
void measureRouting() {}
} // namespace eelgrassloom
