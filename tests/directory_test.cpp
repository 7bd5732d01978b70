// Lists that are read in part, and revisions.
#include "directory.h"

#include <gtest/gtest.h>

#include <nlohmann/json.hpp>

#include "peers.h"

namespace firspool::relay {
namespace {

using testing::list_json;
using testing::member_json;

const ListNames kNames{{"a"}, {"std"}};

// One entry that cannot be read once took the whole list with it, and all that it told of the others.
TEST(Directory, AnUnreadableEntryHidesNoOther) {
  Directory directory;
  const auto first = directory.apply(parse_list(
      list_json(1, true, {member_json("s-1", "10.0.0.1:80", 7), member_json("s-2", "10.0.0.2:80", 7)}),
      kNames));
  ASSERT_TRUE(first);
  const Endpoint one = first->members->at(0).endpoint, two = first->members->at(1).endpoint;
  nlohmann::json bad = member_json("s-1", "db.example:80", 7), bare = member_json("s-3", "10.0.0.3:80", 8);
  bad["more"] = {{"unknown", {1, 2}}};
  for (const char* optional : {"locality", "flavor", "size", "up_since_ms"}) bare.erase(optional);
  const auto next = directory.apply(
      parse_list(list_json(2, false, {bad, member_json("s-2", "10.0.0.2:80", 7, "leaving"), bare}), kNames));
  ASSERT_TRUE(next);
  EXPECT_FALSE(directory.active(one));  // it may be leaving for all that is known
  EXPECT_FALSE(directory.active(two));
  EXPECT_TRUE(directory.active(next->members->at(2).endpoint));
  EXPECT_EQ(next->members->at(2).destination, 8);
  EXPECT_EQ(directory.find(one)->member.destination, 7);  // what its last calls answer is still about that
}

TEST(Directory, AHostInAnUnknownPhaseOrWithoutACellIsNotSentTo) {
  nlohmann::json nowhere = member_json("s-2", "10.0.0.2:80", 7);
  nowhere.erase("cell");
  Directory directory;
  const auto first = directory.apply(
      parse_list(list_json(1, true, {member_json("s-1", "10.0.0.1:80", 7, "resting"), nowhere}), kNames));
  ASSERT_TRUE(first);
  for (const Member& member : *first->members) EXPECT_FALSE(directory.active(member.endpoint));
}

// What was listed for the other cell is gone: nothing for that one may go there, and its calls' ends count
// there.
TEST(Directory, AHostThatMovesToAnotherCellIsAnother) {
  Directory directory;
  const auto first =
      directory.apply(parse_list(list_json(1, true, {member_json("s-1", "10.0.0.1:80", 7)}), kNames));
  ASSERT_TRUE(first);
  const Endpoint before = first->members->at(0).endpoint;
  const auto next =
      directory.apply(parse_list(list_json(2, false, {member_json("s-1", "10.0.0.1:80", 9)}), kNames));
  ASSERT_TRUE(next);
  EXPECT_FALSE(directory.active(before));
  EXPECT_EQ(directory.find(before)->member.destination, 7);
  ASSERT_EQ(next->members->size(), 2u);
  EXPECT_EQ(next->members->at(0).listing, Listing::kGone);
  EXPECT_EQ(next->members->at(0).endpoint, before);
  EXPECT_EQ(next->members->at(1).destination, 9);
  EXPECT_TRUE(directory.active(next->members->at(1).endpoint));
}

// Without its id an entry tells nothing. A whole list is as good without it; of changes one is missed.
TEST(Directory, AnEntryWithoutAnIdIsMissedOnlyAmongChanges) {
  nlohmann::json nameless = member_json("s-2", "10.0.0.2:80", 7);
  nameless.erase("id");
  const std::vector<nlohmann::json> members = {member_json("s-1", "10.0.0.1:80", 7), nameless, 3};
  EXPECT_EQ(parse_list(list_json(1, true, members), kNames).hosts.size(), 1u);
  EXPECT_THROW(parse_list(list_json(2, false, members), kNames), std::exception);
}

}  // namespace
}  // namespace firspool::relay
