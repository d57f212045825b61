// Package scenario runs scripted scenarios with the real programs.
//
// A script is a txtar file under testdata and has a fleet of its own. In addition to the commands
// of testscript it can use the commands below. With a leading ! a command must fail. With -within D
// a check may take up to D to hold; without it, it must hold at once.
//
//	fleet FILE [noapply]              start the fleet, apply all settings, wait until in force
//	process start|kill|pause|continue|stop NAME...    stop sends SIGTERM and waits for the exit
//	ended NAME...                     check that exactly these processes have ended
//	link FROM TO [KEY=VALUE...]       set delay, jitter, loss, duplicate, reorder, cut, one_way;
//	                                  without keys: no impairment
//	break FROM TO                     reset the TCP connections; data already sent is still delivered
//	rotation NAME...                  route callers' datagrams to these entries only
//	platform [KEY=VALUE...]           set the faults of the platform stand-in; without keys: none
//	mode TARGET KEY=VALUE...          set the behaviour of a target
//	apply SERVICE [FILE]              write the settings, with additional lines from FILE;
//	                                  sets $VERSION
//	inforce SERVICE [WITHIN]          wait until $VERSION is in force at all nodes; sets $TOOK_MS
//	ctl ARGS...                       run lacewingctl; stdout is its output
//	load start NAME FILE              start a load from a YAML file; addresses come from the fleet
//	load mark | stop | wait NAME
//	expect [-within D] LOAD SERVICE FIELD OP VALUE    check a field of the report, for example
//	                                  expect main a/b pool.connection_imbalance < 1.05
//	expect [-within D] LOAD faults == 0               check that the report has no violation
//	stats [-within D] TARGET FIELD OP VALUE           check a counter of a target
//	now VAR                           set VAR to the Unix time in milliseconds; a VALUE may be a
//	                                  sum, such as $VAR+3000
//	sleep D
//	metric [-within D] NODE[,NODE...] METRIC OP VALUE    check the sum of a metric over nodes
//	let VAR LOAD SERVICE FIELD | stats TARGET FIELD | metric NODE[,NODE...] METRIC
//	                                  set VAR to a number
//	term NAME...                      send SIGTERM without waiting for the exit
//	move AGENT PLACE                  use the addresses of the agent PLACE at AGENT's next start
//	take SERVICE FROM                 use FROM's address in later settings and loads of SERVICE
//	frame KIND NODE SERVICE           send NODE a frame that it must drop
//
// Commands for settings:
//
//	monitor start SERVICE | check     fail the check if, since start, a process went back to an
//	                                  older revision or an accepted revision changed
//	applied [-within D] SERVICE REVISION [NODE...]
//	                                  wait until the nodes, all by default, apply this revision
//	duty SERVICE VAR...               set the variables to the entries by their controller rank
//	race SERVICE FILE FILE...         operators write concurrently, exactly one succeeds; sets
//	                                  $WINNER and $VERSION
//	forge SERVICE REVISION forged|stale
//	                                  send every node a revision, signed with another key if
//	                                  forged, and with the fleet's key if stale
//	missing [-within D] SERVICE NODE...    wait until the status names exactly these nodes as missing
//	caller ENTRY VAR                  set VAR to a caller in the decision log of ENTRY
//	nodes ARGS...                     ctl with the settings file for commands that call nodes
//	session SERVICE FILE              run the commands of a golden file, compare the output
package scenario
