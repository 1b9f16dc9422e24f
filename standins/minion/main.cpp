// The stand-in minion as a process.
#include "standins/minion/minionserver.h"
#include "standins/runserver.h"

#include <gflags/gflags.h>

DEFINE_string(address, "127.0.0.1", "address to listen on");
DEFINE_int32(port, 0, "port to listen on; 0 chooses a free one");
DEFINE_string(name, "minion", "name in answers");

int main(int argc, char **argv)
{
    using namespace cyclamenlatch;
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    asio::io_context context;
    standins::MinionServer minion(context, FLAGS_name);
    net::HttpServerSettings settings;
    settings.address = FLAGS_address;
    settings.port = static_cast<std::uint16_t>(FLAGS_port);
    return standins::runServer(
            context, settings,
            [&minion](net::HttpRequest request, net::HttpResponder respond) {
                minion.handle(std::move(request), std::move(respond));
            },
            1);
}
