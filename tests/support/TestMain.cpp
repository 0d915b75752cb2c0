/// \file
/// The main program of every test binary.
#define CATCH_CONFIG_RUNNER
#include "support/ProofTable.h"

#include <catch2/catch.hpp>
#include <csignal>

int main(int Count, char **Values) {
  std::signal(SIGPIPE, SIG_IGN);
  const int Result = Catch::Session().run(Count, Values);
  havenstair::ProofTable::instance().print();
  return Result;
}
