#include "engine/metrics.h"
#include <doctest/doctest.h>

using namespace eelgrassloom;

TEST_CASE("counters appear in the text format") {
  auto M = Metrics::create();
  M->recordStatement(Priority::Urgent, StatementOutcome::Refused,
                     std::chrono::milliseconds(20));
  M->setSessionCount(4);
  M->recordForwarded(StatementOutcome::Unknown, std::chrono::milliseconds(5));
  M->setConfigStatus({7, true, std::chrono::milliseconds(1500)});
  std::string Text = M->text();
  CHECK(Text.find("eelgrassloom_rules_version 7") != std::string::npos);
  CHECK(Text.find("eelgrassloom_rules_behind 1") != std::string::npos);
  CHECK(Text.find("eelgrassloom_rules_check_age_seconds 1.5") !=
        std::string::npos);
  CHECK(Text.find("eelgrassloom_sessions 4") != std::string::npos);
  CHECK(Text.find("eelgrassloom_forwarded_total{outcome=\"unknown\"} 1") !=
        std::string::npos);
  CHECK(Text.find("eelgrassloom_forwarded_seconds_count 1") !=
        std::string::npos);
  CHECK(Text.find("outcome=\"refused\",priority=\"urgent\"") !=
        std::string::npos);
}
