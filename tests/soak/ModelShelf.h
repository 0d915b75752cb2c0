/// \file
/// The models of a stand-in engine, and the orders that change them.
#ifndef HAVENSTAIR_TESTS_SOAK_MODELSHELF_H
#define HAVENSTAIR_TESTS_SOAK_MODELSHELF_H

#include "decisions/common/Time.h"
#include "soak/SoakEvents.h"
#include "wire/common/Json.h"
#include <map>
#include <set>
#include <string>

namespace havenstair {

/// Carries out one order at a time.
class ModelShelf {
public:
  struct Options {
    double m_LimitMb = 0;
    int m_AdapterLimit = 0;
    double m_ModelMb = 0; ///< All models are of one size.
    double m_AdapterMb = 0;
    bool m_ChecksTokens = false;
    /// Short, so that a soak of seconds sees many orders.
    Duration m_StoreLoad = 1000ms;
  };

  explicit ModelShelf(Options Opts) : m_Opts(Opts) {}

  /// Who sends the order \p Body, but for the engine's name.
  OrderArrival arrival(const Json &Body, TimePoint Now) const;
  /// Begins what \p Body asks for. \returns the status to answer with; \p Seen
  /// is what the engine will hold, but for its name.
  int order(const Json &Body, TimePoint Now, OrderBegun &Seen);
  /// Ends the order under way when its time has come. \returns whether
  /// anything changed.
  bool advance(TimePoint Now);
  bool holds(const std::string &Model) const {
    return m_Models.contains(Model);
  }
  /// A restart: models, counts and tokens are gone; the disk stays.
  void forget();
  /// An empty engine in place of this one.
  void replace();

  bool busy() const { return m_Busy; }
  std::uint64_t taken() const { return m_Taken; }
  Json models() const;

private:
  double usedMb() const;
  int adapters() const;

  Options m_Opts;
  std::map<std::string, std::set<std::string>> m_Models; ///< With adapters.
  std::set<std::string> m_OnDisk;
  std::uint64_t m_Taken = 0;
  std::uint64_t m_Highest = 0;
  bool m_Busy = false;
  bool m_Loads = false;
  std::string m_Model;
  std::string m_Adapter;
  TimePoint m_Ends;
};

} // namespace havenstair

#endif
