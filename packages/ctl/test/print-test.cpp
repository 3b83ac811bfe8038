#include "ctl/print.h"
#include <algorithm>
#include <doctest/doctest.h>
#include <sstream>

using namespace eelgrassloom;

// Guards against a conflict report without the changes that caused it.
TEST_CASE("a conflict shows the changes that were accepted") {
  operators::v1::ConfirmAnswer A;
  A.set_message("conflict");
  auto *C = A.add_since();
  C->set_place("classes/orders");
  C->set_after("priority urgent");
  std::ostringstream Out;
  print(Out, A);
  CHECK(Out.str().find("classes/orders") != std::string::npos);
}

// Guards against times of other proxies that are shown without correction of
// their clock offset, so that events seem to have occurred in another order.
TEST_CASE("timeline times are on the clock of the answering proxy") {
  operators::v1::TimelineAnswer A;
  auto *E = A.add_events();
  E->set_proxy("p2");
  E->set_number(1);
  E->set_at_us(3000000);
  auto *C = A.add_clocks();
  C->set_proxy("p2");
  C->set_offset_us(1000000);
  A.add_unreachable("p3");
  std::ostringstream Out;
  print(Out, A);
  CHECK(Out.str().find("1970-01-01 00:00:02.000000Z") != std::string::npos);
  CHECK(Out.str().find("unreachable: p3") != std::string::npos);
}

// Guards against texts chosen by a caller that look like further rows of a
// table, or that control the terminal of the operator.
TEST_CASE("the timeline has one line for an event, whatever its texts") {
  operators::v1::TimelineAnswer A;
  auto *E = A.add_events();
  E->set_proxy("p1");
  E->set_request_id("a b\n1970-01-01 forged\x1b[2J");
  E->set_text("two\nlines");
  std::ostringstream Out;
  print(Out, A);
  CHECK(Out.str().find("request=a\\x20b\\n1970-01-01\\x20forged\\x1b[2J") !=
        std::string::npos);
  CHECK(Out.str().find("two\\nlines") != std::string::npos);
  // The heading, the event and an empty line.
  std::string Text = Out.str();
  CHECK(std::count(Text.begin(), Text.end(), '\n') == 3);
}
