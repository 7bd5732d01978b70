// What a relay knows of hosts and destinations beyond its process: the journal's facts about them.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "directory.h"
#include "journal.h"

namespace firspool::relay {

struct Known {
  HostList list;
  std::vector<DestinationSnapshot> memories;  // on this process's steady clock
};

// `names` are those of the settings now. Throws std::exception on what is no fact of hosts or destinations.
Known read_known(const std::map<std::string, std::string>& facts, const ListNames& names);

// Facts that are as they were are not written again. `change`: what the directory made of the list that it
// took over last; of a list of changes only those are looked at.
void remember(Journal& journal, const Directory& directory, const MembersChanged& change);
void remember(Journal& journal, const DestinationSnapshot& memory);

// The list as it is known, read with the names of the settings as they are now.
HostList listed_again(const Directory& directory, const ListNames& names);

}  // namespace firspool::relay
