#include "kernel/shutdown.h"

namespace eelgrassloom {

StopPhase stopPhase(const StopOptions &Options, Duration Passed) {
  Duration End = Options.Grace - Options.DeregistrationTime;
  if (Passed >= End)
    return StopPhase::Ending;
  if (Passed >= End - Options.LastStatementTime)
    return StopPhase::Refusing;
  if (Passed >= std::chrono::duration_cast<Duration>(
                    Options.Grace * Options.TransactionGraceShare))
    return StopPhase::EndingTransactions;
  return Passed >= Options.BalancerDelay ? StopPhase::ClosingIdle
                                         : StopPhase::Serving;
}

} // namespace eelgrassloom
