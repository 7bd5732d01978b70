// The relays' views of each other, held against the truth: the one thing that only they can tell. Asked over
// their second addresses, after the last fault, until all that serve show exactly those that serve.
#pragma once

#include "fleet.h"

namespace umberhoist::lab {

class Views {
 public:
  Views(World& world, const Fleet& fleet) : world_(world), fleet_(fleet) {}

  // From a fault's end on; a later fault begins it anew. Within `most` seconds views settle, or that is
  // broken.
  void watch(double most);
  // The play is over.
  void finish();

 private:
  void look();
  // Empty where all agree; else who sees what wrongly.
  std::string differences() const;

  World& world_;
  const Fleet& fleet_;
  int watch_ = 0;
  double began_ = -1;
  double most_ = 0;
  double settled_ = -1;
  std::string last_;
};

}  // namespace umberhoist::lab
