// Calls that end by a want of this process's own: they say nothing of the host.
#include <sys/resource.h>

#include "upstream_crossing.h"

namespace firspool::relay {
namespace {

class UpstreamOwn : public UpstreamCrossing {
 protected:
  // No further descriptor can be had until the object is gone.
  class NoDescriptors {
   public:
    NoDescriptors() {
      ::getrlimit(RLIMIT_NOFILE, &before_);
      rlimit none = before_;
      none.rlim_cur = 3;
      ::setrlimit(RLIMIT_NOFILE, &none);
    }
    ~NoDescriptors() { ::setrlimit(RLIMIT_NOFILE, &before_); }

   private:
    rlimit before_{};
  };
};

TEST_F(UpstreamOwn, WantOfADescriptorIsNoFailureOfTheHost) {
  // A host's own refusal, for the contrast; and sanitizers, which need descriptors for it, have seen each
  // type.
  testing::Socket gone = testing::Socket::listen();
  const uint16_t port = gone.port();
  gone.close();
  begin(port);
  EXPECT_EQ(end().outcome, Outcome::kConnectFailed);
  const testing::Socket before = called();
  {
    const NoDescriptors none;
    begin();
    EXPECT_EQ(end().outcome, Outcome::kNotSent);
  }
  EXPECT_FALSE(asked_);
  called();  // the next call finds one
}

}  // namespace
}  // namespace firspool::relay
