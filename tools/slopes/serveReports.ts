// Replaces a worker in measureRenewalCpu: answers every call with the JSON text from argv.
import http from 'node:http';

const [, , body = '{}'] = process.argv;
const server = http.createServer((request, response) => {
  request.resume().on('end', () => {
    response.setHeader('content-type', 'application/json');
    response.end(body);
  });
});
server.listen(0, '127.0.0.1', () => {
  process.stdout.write(`${(server.address() as { port: number }).port}\n`);
});
process.stdin.resume().on('end', () => process.exit(0));
