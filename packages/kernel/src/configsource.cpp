#include "kernel/configsource.h"

namespace eelgrassloom {

RulesReads planRulesReads(const RulesWait &Wait) {
  RulesReads Next;
  Next.Store = !Wait.ReadingStore;
  Next.Proxy =
      !Wait.AskingProxy && (Wait.StoreLost || Wait.Since >= RulesStorePatience);
  return Next;
}

} // namespace eelgrassloom
