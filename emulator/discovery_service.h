// The list of nodes as a service: pushed or asked for, late, and wrong in the ways a script says.
#pragma once
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "emulator/event_log.h"
#include "net/stream.h"
#include "proto/discovery.pb.h"

namespace whinpost::emulator {

class DiscoveryService {
public:
    DiscoveryService(net::EventLoop&, EventLog&, bool push, Nanos late, std::uint64_t incarnation);
    ~DiscoveryService();
    std::string listen(const std::string& address);
    std::string address() const { return address_; }

    // The truth, from which the list is made. Followers hear of changes `late` afterwards.
    void put(const v1::Endpoint&, Nanos started);
    void remove(const std::string& node);  // gone
    void stand_still(bool on) { still_ = on; }
    void down(bool);      // nobody listens there, and all connections break
    void go_backwards();  // tells the whole list of some changes ago, with its old number
    // For a time, all it tells is one view: that of `age` ago, when `ghosts` were still there and `unknown`
    // were not.
    void be_old(Nanos age, const std::vector<v1::Endpoint>& ghosts, const std::vector<std::string>& unknown);
    void end_old();
    void name_none();  // tells an empty whole list once
    void name_twice(const std::string& node, const v1::Endpoint& other);

private:
    struct Session;
    struct Known {
        v1::Endpoint entry;
        Nanos started;
    };
    void tell(Session&, const std::vector<std::string>& changed, bool whole);
    void flush();
    v1::Endpoint aged(const Known&) const;
    void send(Session&, const v1::FromDiscovery&);

    net::EventLoop& loop_;
    EventLog& seen_;
    bool push_, still_ = false;
    Nanos old_since_ = 0;  // not 0: the time of the view that is told
    v1::FromDiscovery old_view_;
    Nanos late_;
    std::uint64_t incarnation_, number_ = 1;
    std::string address_;
    std::unique_ptr<net::Listener> listener_;
    std::vector<std::unique_ptr<Session>> sessions_, left_;
    std::map<std::string, Known> known_;
    std::deque<std::pair<Nanos, std::string>> changes_;
    std::deque<v1::FromDiscovery> old_;
    std::unique_ptr<net::Timer> flush_, sweep_;
};

}  // namespace whinpost::emulator
