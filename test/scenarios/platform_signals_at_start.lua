-- Guards against a program that a signal ends in its first moments, before its handlers are installed.
local SIGHUP, SIGTERM, SIGINT, SIGUSR1 = 1, 15, 2, 10
local rounds, settle_ms = 4, 300
platform_fleet({ gateways = 1, endpoints = 1 })

local ended = 0
for _, name in ipairs({ fronts[1], controls[1], works[1] }) do
  for _ = 1, rounds do
    for _, signal in ipairs({ SIGHUP, SIGUSR1 }) do
      restart_until_first_line(name)
      send_signal(name, signal)
      sleep(settle_ms)
      if not is_running(name) then
        ended = ended + 1
        print(name .. " ended by signal " .. signal)
      end
    end
    for _, signal in ipairs({ SIGTERM, SIGINT }) do
      restart_until_first_line(name)
      send_signal(name, signal)
      local code = wait_exit(name)
      if code ~= 0 then
        ended = ended + 1
        print(name .. " exits with " .. code .. " after signal " .. signal)
      end
    end
  end
  start(name)
  sleep(settle_ms)
end
expect(ended == 0, "each program handles signals from its first line on: " .. ended)
